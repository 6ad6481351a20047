/** Finds broken promises in the logs of many processes, as a customer's auditor would. */
package org.lovagegrade.cli.audit;
