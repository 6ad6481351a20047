/** The leader's work besides log replication: it plans starts, drives workers and answers callers. */
package org.lovagegrade.graph.leader;
