/** What the leader does besides the log: it plans starts, drives workers and answers callers. */
package org.lovagegrade.graph.leader;
