/** A small stand-in for the users' platform over loopback: runners, an adviser, an operator, settings files. */
package org.lovagegrade.testing.platform;
