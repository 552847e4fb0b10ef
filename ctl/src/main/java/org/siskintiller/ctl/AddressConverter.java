package org.siskintiller.ctl;

import org.siskintiller.core.model.Address;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Converts HOST:PORT arguments. */
final class AddressConverter implements ITypeConverter<Address> {

    @Override
    public Address convert(String value) {
        int colon = value.lastIndexOf(':');
        try {
            if (colon > 0) {
                return new Address(value.substring(0, colon), Integer.parseInt(value.substring(colon + 1)));
            }
        } catch (IllegalArgumentException e) {
            throw new TypeConversionException("'" + value + "': " + e.getMessage());
        }
        throw new TypeConversionException("'" + value + "' is no address; write for example 127.0.0.1:18000");
    }
}
