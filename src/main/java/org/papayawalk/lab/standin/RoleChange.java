package org.papayawalk.lab.standin;

/**
 * Command to an engine to change its role. Read as JSON. Immutable.
 *
 * @param role {@code serve}, {@code prefill} or {@code decode}
 * @param fencing fencing number of the command
 */
public record RoleChange(String role, long fencing) {}
