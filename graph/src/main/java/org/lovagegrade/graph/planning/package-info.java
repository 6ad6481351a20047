/** Which waiting task starts where: pure decisions over views of steps, workers and tickets. */
package org.lovagegrade.graph.planning;
