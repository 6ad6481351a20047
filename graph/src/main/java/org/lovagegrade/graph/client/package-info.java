/** Clients with which other processes find the leader and send it requests. */
package org.lovagegrade.graph.client;
