package org.papayawalk.daemon.standalone;

import org.papayawalk.core.port.HostList;
import org.papayawalk.core.port.TableService;

/**
 * Clients of the platform's services that every daemon uses. Immutable.
 *
 * @param table client of the table service
 * @param hostList client of the host list
 */
public record PlatformServices(TableService table, HostList hostList) {}
