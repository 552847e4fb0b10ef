package org.siskintiller.wire;

import java.util.ArrayList;
import java.util.List;

import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.CustomerConfig;
import org.siskintiller.core.model.PresetConfig;
import org.siskintiller.core.model.RankConfig;
import org.siskintiller.core.model.RankLimits;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.wire.proto.Proto;

/** Converts the published configuration to and from protobuf messages. */
final class ConfigCodec {

    private ConfigCodec() {}

    static Proto.ClusterConfig toProto(ClusterConfig config) {
        Proto.ClusterConfig.Builder builder = Proto.ClusterConfig.newBuilder().setActivePreset(config.activePreset());
        for (ServiceConfig service : config.services()) {
            builder.addServices(toProto(service));
        }
        for (RankConfig rank : config.ranks()) {
            builder.addRanks(Proto.RankConfig.newBuilder()
                    .setName(rank.name())
                    .setOrder(rank.order())
                    .setTargetMs(rank.targetMs()));
        }
        for (CustomerConfig customer : config.customers()) {
            builder.addCustomers(
                    Proto.CustomerConfig.newBuilder().setName(customer.name()).setWeight(customer.weight()));
        }
        for (PresetConfig preset : config.presets()) {
            builder.addPresets(toProto(preset));
        }
        return builder.build();
    }

    static ClusterConfig fromProto(Proto.ClusterConfig config) {
        List<ServiceConfig> services = new ArrayList<>();
        for (Proto.ServiceConfig service : config.getServicesList()) {
            services.add(fromProto(service));
        }
        List<RankConfig> ranks = new ArrayList<>();
        for (Proto.RankConfig rank : config.getRanksList()) {
            ranks.add(new RankConfig(rank.getName(), rank.getOrder(), rank.getTargetMs()));
        }
        List<CustomerConfig> customers = new ArrayList<>();
        for (Proto.CustomerConfig customer : config.getCustomersList()) {
            customers.add(new CustomerConfig(customer.getName(), customer.getWeight()));
        }
        List<PresetConfig> presets = new ArrayList<>();
        for (Proto.PresetConfig preset : config.getPresetsList()) {
            presets.add(fromProto(preset));
        }
        return new ClusterConfig(services, ranks, customers, presets, config.getActivePreset());
    }

    private static Proto.ServiceConfig toProto(ServiceConfig service) {
        return Proto.ServiceConfig.newBuilder()
                .setName(service.name())
                .setKeyed(service.keyed())
                .setIdempotent(service.idempotent())
                .setChecksFence(service.checksFence())
                .setSlots(service.slots())
                .setStandbys(service.standbys())
                .setLongestRequestMs(service.longestRequestMs())
                .setDefaultRank(service.defaultRank())
                .setIdempotencyWindowMs(service.idempotencyWindowMs())
                .build();
    }

    private static ServiceConfig fromProto(Proto.ServiceConfig service) {
        return new ServiceConfig(
                service.getName(),
                service.getKeyed(),
                service.getIdempotent(),
                service.getChecksFence(),
                service.getSlots(),
                service.getStandbys(),
                service.getLongestRequestMs(),
                service.getDefaultRank(),
                service.getIdempotencyWindowMs());
    }

    private static Proto.PresetConfig toProto(PresetConfig preset) {
        Proto.PresetConfig.Builder builder = Proto.PresetConfig.newBuilder()
                .setName(preset.name())
                .setMaxMovesPerMinute(preset.maxMovesPerMinute())
                .setRetryBudgetPercent(preset.retryBudgetPercent())
                .setHotKeyShare(preset.hotKeyShare())
                .setWeightUnavailable(preset.weightUnavailable())
                .setWeightChurn(preset.weightChurn());
        for (RankLimits limits : preset.ranks()) {
            builder.addRanks(Proto.RankLimits.newBuilder()
                    .setRank(limits.rank())
                    .setGuaranteedSharePercent(limits.guaranteedSharePercent())
                    .setQueueLimit(limits.queueLimit())
                    .setDeadlineMs(limits.deadlineMs()));
        }
        return builder.build();
    }

    private static PresetConfig fromProto(Proto.PresetConfig preset) {
        List<RankLimits> ranks = new ArrayList<>();
        for (Proto.RankLimits limits : preset.getRanksList()) {
            ranks.add(new RankLimits(
                    limits.getRank(),
                    limits.getGuaranteedSharePercent(),
                    limits.getQueueLimit(),
                    limits.getDeadlineMs()));
        }
        return new PresetConfig(
                preset.getName(),
                ranks,
                preset.getMaxMovesPerMinute(),
                preset.getRetryBudgetPercent(),
                Decoding.requireFinite(preset.getHotKeyShare(), "hot_key_share"),
                Decoding.requireFinite(preset.getWeightUnavailable(), "weight_unavailable"),
                Decoding.requireFinite(preset.getWeightChurn(), "weight_churn"));
    }
}
