package org.lovagegrade.kernel.http;

/**
 * One header line.
 *
 * @param name the name
 * @param value the value
 */
public record HttpHeader(String name, String value) {}
