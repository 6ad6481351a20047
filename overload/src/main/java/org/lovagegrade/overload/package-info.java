/**
 * Decisions under load: what a delay costs, in which order waiting work is placed, and whether new work is accepted.
 *
 * <p>The package is pure: it has no I/O, clock, thread or log. Times are milliseconds since 1970 unless a name says
 * otherwise; work is in core-milliseconds, one core busy for one millisecond.
 */
package org.lovagegrade.overload;
