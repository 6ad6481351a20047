/** Admission tickets: which workers an external adviser allows to run a step, and the questions put to it. */
package org.lovagegrade.graph.advice;
