package org.siskintiller.ctl;

import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Converts SERVICE/KEY arguments. The key may contain further slashes. */
final class KeyConverter implements ITypeConverter<AuditFilter.Key> {

    @Override
    public AuditFilter.Key convert(String value) {
        int slash = value.indexOf('/');
        if (slash < 1) {
            throw new TypeConversionException("'" + value + "' names no key; write SERVICE/KEY");
        }
        return new AuditFilter.Key(value.substring(0, slash), value.substring(slash + 1));
    }
}
