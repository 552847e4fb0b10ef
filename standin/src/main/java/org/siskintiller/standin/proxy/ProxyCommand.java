package org.siskintiller.standin.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import org.siskintiller.standin.Addresses;
import org.siskintiller.standin.ServerOptions;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs the forwarder until the process is stopped. */
@Command(
        name = "proxy",
        mixinStandardHelpOptions = true,
        description = {
            "Forwards TCP and UDP between fixed addresses.",
            "Prints its control address and then one line per mapping. Faults: POST /_faults at the control address"
                    + " with \"map\" set to a listening address or all."
        })
public final class ProxyCommand implements Callable<Integer> {

    @Mixin
    private ServerOptions server;

    @Option(
            names = "--map",
            required = true,
            description = "FROM_HOST:PORT=TO_HOST:PORT, may be repeated; port 0 of FROM takes a free one")
    private List<String> maps;

    @Override
    public Integer call() throws Exception {
        List<ProxyServer.Route> routes = new ArrayList<>();
        for (String map : maps) {
            routes.add(route(map));
        }
        try (ProxyServer proxy = new ProxyServer(server.address(), routes, server.seed())) {
            ServerOptions.printAddress(proxy.controlAddress());
            for (int i = 0; i < routes.size(); i++) {
                System.out.println("mapping " + proxy.addresses().get(i) + " "
                        + routes.get(i).to());
            }
            new CountDownLatch(1).await();
        }
        return 0;
    }

    private static ProxyServer.Route route(String map) {
        int equals = map.indexOf('=');
        if (equals < 0) {
            throw new IllegalArgumentException("--map " + map + " is no FROM=TO");
        }
        return new ProxyServer.Route(
                Addresses.parse(map.substring(0, equals)), Addresses.parse(map.substring(equals + 1)));
    }
}
