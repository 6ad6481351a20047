/** The replicated state of job graphs: a deterministic state machine driven by the commands of the log. */
package org.lovagegrade.graph.machine;
