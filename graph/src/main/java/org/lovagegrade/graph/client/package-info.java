/** How other processes find the leader of the fleet's state and ask it. */
package org.lovagegrade.graph.client;
