package org.papayawalk.adapter.standalone;

/**
 * Header of a request or an answer. Immutable.
 *
 * @param name name
 * @param value value
 */
public record HttpHeader(String name, String value) {}
