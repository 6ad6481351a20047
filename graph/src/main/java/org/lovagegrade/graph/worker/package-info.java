/** How the leader drives workers: orders out, outcomes and listings back, whatever protocol carries them. */
package org.lovagegrade.graph.worker;
