package org.siskintiller.config;

import java.util.ArrayList;
import java.util.List;

/** Collects the problems of one INI text. */
final class IniProblems {
    private final String file;
    private final List<ConfigProblem> problems = new ArrayList<>();

    IniProblems(String file) {
        this.file = file;
    }

    void add(String section, String key, String problem, String remedy) {
        problems.add(new ConfigProblem(file, section, key, problem, remedy));
    }

    List<ConfigProblem> list() {
        return List.copyOf(problems);
    }

    boolean isEmpty() {
        return problems.isEmpty();
    }
}
