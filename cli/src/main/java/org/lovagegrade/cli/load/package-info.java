/** Accounts from the logs of all processes for the jobs and the capacity of a deployment. */
package org.lovagegrade.cli.load;
