package org.siskintiller.config;

/** Builds an INI text. */
final class IniWriter {
    private final StringBuilder text = new StringBuilder();

    void section(String name) {
        if (text.length() > 0) {
            text.append('\n');
        }
        text.append('[').append(name).append("]\n");
    }

    void line(String key, Object value) {
        text.append(key).append(" = ").append(value).append('\n');
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
