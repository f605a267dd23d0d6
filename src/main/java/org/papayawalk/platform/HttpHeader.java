package org.papayawalk.platform;

/**
 * Header of a request or an answer. Immutable.
 *
 * @param name name
 * @param value value
 */
public record HttpHeader(String name, String value) {}
