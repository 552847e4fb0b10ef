package org.siskintiller.config;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.siskintiller.config.CompanionSettings.Limits;
import org.siskintiller.config.CompanionSettings.Translation;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.CustomerConfig;
import org.siskintiller.core.model.PresetConfig;
import org.siskintiller.core.model.RankConfig;
import org.siskintiller.core.model.RankLimits;
import org.siskintiller.core.model.ServiceConfig;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a field that a writer omits, that a parser ignores, or whose key differs between the two. */
class ConfigRoundTripTest {

    @Property(tries = 300, seed = "1")
    void clusterConfigRoundTrips(@ForAll("configs") ClusterConfig config) {
        Parsed<ClusterConfig> parsed = ClusterConfigParser.parse("cluster.ini", ClusterConfigWriter.write(config));
        assertThat(parsed).isEqualTo(new Parsed.Ok<>(config));
    }

    @Property(tries = 300, seed = "1")
    void companionSettingsRoundTrip(@ForAll("settings") CompanionSettings settings) {
        Parsed<CompanionSettings> parsed =
                CompanionSettingsParser.parse("companion.ini", CompanionSettingsWriter.write(settings));
        assertThat(parsed).isEqualTo(new Parsed.Ok<>(settings));
    }

    @Provide
    Arbitrary<ClusterConfig> configs() {
        Arbitrary<List<String>> ranks =
                names().list().uniqueElements().ofMinSize(1).ofMaxSize(4);
        return ranks.flatMap(names -> Combinators.combine(
                        services(names)
                                .list()
                                .uniqueElements(ServiceConfig::name)
                                .ofMinSize(1)
                                .ofMaxSize(3),
                        customers().list().uniqueElements(CustomerConfig::name).ofMaxSize(3),
                        presets(names)
                                .list()
                                .uniqueElements(PresetConfig::name)
                                .ofMinSize(1)
                                .ofMaxSize(3),
                        Arbitraries.longs().between(1, 86_400_000))
                .as((services, customers, presets, targetMs) -> new ClusterConfig(
                        services,
                        ranks(names, targetMs),
                        customers,
                        presets,
                        presets.get(0).name())));
    }

    @Provide
    Arbitrary<CompanionSettings> settings() {
        Arbitrary<Limits> limits = Combinators.combine(
                        Arbitraries.integers().between(1_024, 1 << 20),
                        Arbitraries.longs().between(0, 1L << 40),
                        Arbitraries.longs().between(10, 3_600_000),
                        Arbitraries.integers().between(1, 100_000),
                        Arbitraries.longs().between(1_000, 3_600_000))
                .as(Limits::new);
        Arbitrary<List<Translation>> translations = Combinators.combine(v4(), v4())
                .as(Translation::new)
                .list()
                .uniqueElements(Translation::from)
                .ofMaxSize(4);
        Arbitrary<Address> anyAddress =
                Arbitraries.oneOf(v4(), Arbitraries.of(new Address("[::1]", 7), new Address("[fe80::2]", 9)));
        return Combinators.combine(names(), names(), anyAddress, anyAddress, anyAddress, limits, translations)
                .as(CompanionSettings::new);
    }

    private static List<RankConfig> ranks(List<String> names, long targetMs) {
        List<RankConfig> ranks = new ArrayList<>();
        for (String name : names) {
            ranks.add(new RankConfig(name, ranks.size(), targetMs));
        }
        return ranks;
    }

    private static Arbitrary<ServiceConfig> services(List<String> ranks) {
        Arbitrary<Boolean> flag = Arbitraries.of(true, false);
        return Combinators.combine(
                        names(),
                        flag,
                        flag,
                        flag,
                        Arbitraries.integers().between(1, 65_536),
                        Arbitraries.integers().between(1, 2),
                        Arbitraries.longs().between(1, 600),
                        Arbitraries.of(ranks))
                .as((name, keyed, idempotent, fence, slots, standbys, longest, rank) -> new ServiceConfig(
                        name, keyed, idempotent, fence, slots, standbys, longest, rank, 1_000 + longest));
    }

    private static Arbitrary<CustomerConfig> customers() {
        return Combinators.combine(names(), Arbitraries.integers().between(1, 1_000_000))
                .as(CustomerConfig::new);
    }

    private static Arbitrary<PresetConfig> presets(List<String> ranks) {
        return Combinators.combine(
                        names(),
                        Arbitraries.integers().between(0, 100 / ranks.size()),
                        Arbitraries.integers().between(0, 100),
                        Arbitraries.doubles().ofScale(6).between(0.001, 1),
                        Arbitraries.doubles().ofScale(6).between(0, 1_000_000),
                        Arbitraries.longs().between(1, 86_400_000))
                .as((name, share, percent, hot, weight, deadline) -> new PresetConfig(
                        name,
                        ranks.stream()
                                .map(rank -> new RankLimits(rank, share, 1 + percent, deadline))
                                .toList(),
                        percent * 3,
                        percent,
                        hot,
                        weight,
                        weight / 3));
    }

    private static Arbitrary<Address> v4() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 255),
                        Arbitraries.integers().between(0, 65_535))
                .as((octet, port) -> new Address("127.0." + octet + ".1", port));
    }

    private static Arbitrary<String> names() {
        return Arbitraries.strings()
                .withCharRange('a', 'z')
                .withCharRange('0', '9')
                .withChars('-', '.', '_')
                .ofMinLength(0)
                .ofMaxLength(20)
                .map(tail -> "x" + tail);
    }
}
