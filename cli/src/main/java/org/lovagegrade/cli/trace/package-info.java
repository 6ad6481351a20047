/** Builds the timeline of one job, run, worker, call or version from the logs of many processes. */
package org.lovagegrade.cli.trace;
