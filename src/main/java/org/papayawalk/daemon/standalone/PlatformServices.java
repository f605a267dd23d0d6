package org.papayawalk.daemon.standalone;

import org.papayawalk.core.port.HostList;
import org.papayawalk.core.port.TableService;

/**
 * Services of the platform that every daemon uses. Immutable.
 *
 * @param table table service
 * @param hostList host list
 */
public record PlatformServices(TableService table, HostList hostList) {}
