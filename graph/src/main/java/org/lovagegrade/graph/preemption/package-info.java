/** Decides which runs are stopped to give their capacity to more urgent work. */
package org.lovagegrade.graph.preemption;
