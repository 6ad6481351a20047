/** The rules of the audit. */
package org.lovagegrade.cli.audit.internal;
