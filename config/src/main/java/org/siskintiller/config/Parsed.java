package org.siskintiller.config;

import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

/** Result of parsing an INI text. */
public sealed interface Parsed<T> {

    /** The text is valid. */
    record Ok<T>(T value) implements Parsed<T> {
        public Ok {
            Objects.requireNonNull(value, "value");
        }
    }

    /** The text has errors; the problems are all that were found. */
    record Invalid<T>(List<ConfigProblem> problems) implements Parsed<T> {
        public Invalid {
            problems = List.copyOf(problems);
            if (problems.isEmpty()) {
                throw new IllegalArgumentException("an invalid text needs at least one problem");
            }
        }
    }

    /** Returns Invalid if there are problems and Ok otherwise. The value is computed only for Ok. */
    static <T> Parsed<T> of(List<ConfigProblem> problems, Supplier<T> value) {
        return problems.isEmpty() ? new Ok<>(value.get()) : new Invalid<>(problems);
    }
}
