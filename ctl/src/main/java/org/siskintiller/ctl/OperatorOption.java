package org.siskintiller.ctl;

import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import picocli.CommandLine.Spec.Target;

/** Option of the commands that make changes. The audit trail shows the name. */
final class OperatorOption {
    private static final String NAME_REGEX = "[A-Za-z0-9][A-Za-z0-9._@-]{0,62}";

    @Spec(Target.MIXEE)
    private CommandSpec spec;

    private String operator;

    @Option(
            names = "--operator",
            paramLabel = "NAME",
            required = true,
            defaultValue = "${env:SISKIN_OPERATOR}",
            description = "Who makes the change. Default: environment variable SISKIN_OPERATOR.")
    private void setOperator(String name) {
        if (name != null && !name.matches(NAME_REGEX)) {
            throw new ParameterException(
                    spec.commandLine(),
                    "'" + name + "' is no operator name; use letters, digits, '.', '_', '@' or '-'");
        }
        operator = name;
    }

    String operator() {
        return operator;
    }
}
