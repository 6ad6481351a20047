/** Admission tickets: which workers an outside adviser lets run a step, and who asks it. */
package org.lovagegrade.graph.advice;
