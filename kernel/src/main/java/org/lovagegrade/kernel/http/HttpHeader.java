package org.lovagegrade.kernel.http;

/**
 * One header field of an HTTP message.
 *
 * @param name the name
 * @param value the value
 */
public record HttpHeader(String name, String value) {}
