package org.papayawalk.daemon.standalone;

import java.util.List;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.port.HostList;
import org.papayawalk.settings.SettingsValidator;

/**
 * Checks the configured failure domain against the host list, to detect a mistyped name. The check
 * passes if the list is unavailable or empty, so that a daemon can start during an outage of the
 * platform. Stateless and thread-safe.
 */
final class DomainCheck {
    private DomainCheck() {}

    /**
     * Checks a failure domain. Blocks while the host list is read.
     *
     * @param domain configured failure domain
     * @param hostList host list of the platform
     * @return one error message if hosts are listed but none is in the failure domain, else empty
     */
    static List<String> faults(String domain, HostList hostList) {
        List<HostRecord> hosts = hostList.read().getOrElse(List.of());
        boolean known =
                hosts.isEmpty() || hosts.stream().anyMatch(h -> h.domain().value().equals(domain));
        String reason =
                "is not the failure domain of any listed host; correct it, or add the host to the"
                        + " host list";
        return new SettingsValidator().require(known, "--domain", domain, reason).faults();
    }
}
