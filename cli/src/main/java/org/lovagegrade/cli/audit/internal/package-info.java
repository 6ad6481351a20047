/** The rules of the audit, one by one. */
package org.lovagegrade.cli.audit.internal;
