/** The orders with which the leader drives workers and their outcomes, independent of the transport protocol. */
package org.lovagegrade.graph.worker;
