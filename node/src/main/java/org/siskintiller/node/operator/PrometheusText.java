package org.siskintiller.node.operator;

import java.util.Locale;
import java.util.Map;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/** Renders a metric registry in the Prometheus text format. Durations are in seconds. */
public final class PrometheusText {
    private static final String PREFIX = "siskintiller_";
    private static final double NS_PER_S = 1e9;

    private PrometheusText() {}

    public static String render(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Gauge> gauge : registry.getGauges().entrySet()) {
            if (gauge.getValue().getValue() instanceof Number number) {
                appendType(text, name(gauge.getKey()), "gauge");
                appendSample(text, name(gauge.getKey()), "", number.doubleValue());
            }
        }
        for (Map.Entry<String, Counter> counter : registry.getCounters().entrySet()) {
            String name = name(counter.getKey()) + "_total";
            appendType(text, name, "counter");
            appendSample(text, name, "", counter.getValue().getCount());
        }
        for (Map.Entry<String, Timer> timer : registry.getTimers().entrySet()) {
            String name = name(timer.getKey()) + "_seconds";
            Snapshot snapshot = timer.getValue().getSnapshot();
            appendType(text, name, "summary");
            appendSample(text, name, "{quantile=\"0.5\"}", snapshot.getMedian() / NS_PER_S);
            appendSample(text, name, "{quantile=\"0.99\"}", snapshot.get99thPercentile() / NS_PER_S);
            appendSample(text, name, "{quantile=\"1\"}", snapshot.getMax() / NS_PER_S);
            appendSample(text, name + "_count", "", timer.getValue().getCount());
        }
        return text.toString();
    }

    private static void appendType(StringBuilder text, String name, String type) {
        text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
    }

    private static void appendSample(StringBuilder text, String name, String labels, double value) {
        text.append(name).append(labels).append(' ').append(value).append('\n');
    }

    private static String name(String metric) {
        return PREFIX + metric.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_");
    }
}
