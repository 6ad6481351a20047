/** Decides which waiting tasks start on which workers, from views of steps, workers, tickets and quotas alone. */
package org.lovagegrade.graph.planning;
