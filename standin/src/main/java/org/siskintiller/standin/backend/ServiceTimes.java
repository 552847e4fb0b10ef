package org.siskintiller.standin.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Service time distributions by path. The first rule whose path is contained in the request path applies. */
final class ServiceTimes {
    private static final double NS_PER_MS = 1e6;

    private final List<Rule> rules;

    private ServiceTimes(List<Rule> rules) {
        this.rules = List.copyOf(rules);
    }

    /** Parses rules such as /lookup=exp:2, /declare=uniform:5-10 and fixed:2 (for all other paths), in ms. */
    static ServiceTimes parse(List<String> specifications) {
        List<Rule> rules = new ArrayList<>();
        for (String specification : specifications) {
            int equals = specification.lastIndexOf('=');
            String path = equals < 0 ? "" : specification.substring(0, equals);
            rules.add(new Rule(path, distribution(specification.substring(equals + 1))));
        }
        return new ServiceTimes(rules);
    }

    long sampleNs(String path, Random random) {
        for (Rule rule : rules) {
            if (path.contains(rule.path())) {
                return (long) (rule.distribution().sampleMs(random) * NS_PER_MS);
            }
        }
        return 0;
    }

    private static Distribution distribution(String text) {
        try {
            int colon = text.indexOf(':');
            String kind = colon < 0 ? "" : text.substring(0, colon);
            String value = text.substring(colon + 1);
            switch (kind) {
                case "fixed":
                    double fixed = Double.parseDouble(value);
                    return random -> fixed;
                case "exp":
                    double mean = Double.parseDouble(value);
                    return random -> -mean * Math.log(1 - random.nextDouble());
                case "uniform":
                    double low = Double.parseDouble(value.substring(0, value.indexOf('-')));
                    double high = Double.parseDouble(value.substring(value.indexOf('-') + 1));
                    return random -> low + (high - low) * random.nextDouble();
                default:
                    break;
            }
        } catch (NumberFormatException | StringIndexOutOfBoundsException e) {
            throw new IllegalArgumentException("service time " + text + " has no valid number", e);
        }
        throw new IllegalArgumentException("service time " + text + " is none of fixed:MS, exp:MEAN, uniform:LOW-HIGH");
    }

    /** Distribution of a service time. */
    private interface Distribution {
        double sampleMs(Random random);
    }

    /** Distribution for requests whose path contains the given path. */
    private record Rule(String path, Distribution distribution) {}
}
