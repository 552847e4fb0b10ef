package org.siskintiller.config;

import org.siskintiller.config.CompanionSettings.Limits;
import org.siskintiller.config.CompanionSettings.Translation;

/** Writes the process settings of a companion as an INI text that the parser reads back. */
public final class CompanionSettingsWriter {

    private CompanionSettingsWriter() {}

    public static String write(CompanionSettings settings) {
        IniWriter out = new IniWriter();
        out.section(CompanionSettingsParser.COMPANION);
        out.line("instance", settings.instance());
        out.line("failure_domain", settings.failureDomain());
        out.line("http", settings.http());
        out.line("peer", settings.peer());
        out.section(CompanionSettingsParser.LOG);
        out.line("address", settings.log());
        Limits limits = settings.limits();
        out.section(CompanionSettingsParser.LIMITS);
        out.line("max_header_bytes", limits.maxHeaderBytes());
        out.line("max_body_bytes", limits.maxBodyBytes());
        out.line("request_timeout_ms", limits.requestTimeoutMs());
        out.line("max_callers", limits.maxCallers());
        out.line("stop_timeout_ms", limits.stopTimeoutMs());
        if (!settings.translations().isEmpty()) {
            out.section(CompanionSettingsParser.PEERS);
            for (Translation translation : settings.translations()) {
                out.line(translation.from().toString(), translation.to());
            }
        }
        return out.toString();
    }
}
