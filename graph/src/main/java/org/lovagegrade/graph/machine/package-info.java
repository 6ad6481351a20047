/** The replicated state of job graphs: a deterministic machine that commands drive. */
package org.lovagegrade.graph.machine;
