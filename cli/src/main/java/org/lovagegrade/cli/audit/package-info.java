/** Finds violated invariants in the logs of many processes, from the logs alone. */
package org.lovagegrade.cli.audit;
