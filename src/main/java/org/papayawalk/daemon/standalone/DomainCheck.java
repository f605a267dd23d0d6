package org.papayawalk.daemon.standalone;

import java.util.List;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.port.HostList;
import org.papayawalk.settings.SettingsValidator;

/**
 * Checks a daemon's failure domain against the host list. A list that is away or empty proves
 * nothing, so the daemon then starts. Holds no state; safe from any thread.
 */
final class DomainCheck {

    /** Prevents instances. */
    private DomainCheck() {}

    /**
     * Checks the failure domain.
     *
     * @param domain failure domain in the settings
     * @param hostList host list of the platform
     * @return one text if no listed host is in the failure domain, else none
     */
    static List<String> faults(String domain, HostList hostList) {
        List<HostRecord> hosts = hostList.read().getOrElse(List.of());
        boolean known =
                hosts.isEmpty() || hosts.stream().anyMatch(h -> h.domain().value().equals(domain));
        String reason = "is no failure domain of the host list";
        return new SettingsValidator().require(known, "--domain", domain, reason).faults();
    }
}
