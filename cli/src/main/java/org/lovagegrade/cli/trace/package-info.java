/** The life of one request, task or version, put together from the logs of many processes. */
package org.lovagegrade.cli.trace;
