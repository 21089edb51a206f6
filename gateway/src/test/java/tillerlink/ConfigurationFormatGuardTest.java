package tillerlink;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.DeduplicationGroup;
import tillerlink.model.Effect;
import tillerlink.model.EndpointUpdate;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.model.Request;
import tillerlink.model.RequestClassConfig;
import tillerlink.model.Settings;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.net.wire.EndpointWatchEvent;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.plain.FlattenedConfig;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.policy.InvariantMonitor;
import tillerlink.port.DispatchActions;

/**
 * Guard tests that pin the keys and units of a gateway's configuration: the values parsed from a
 * file that has every key, the request class settings made from them, and the names under which
 * settings are looked up.
 */
class ConfigurationFormatGuardTest {
  private static final DispatchActions NO_ACTIONS =
      (DispatchActions)
          Proxy.newProxyInstance(
              DispatchActions.class.getClassLoader(),
              new Class<?>[] {DispatchActions.class},
              (proxy, method, arguments) -> null);

  @Test
  void gatewayValuesAreReadFromTheirKeys() throws Exception {
    GatewayConfig read = read();
    assertEquals("north-1", read.name());
    assertEquals(new InetSocketAddress("127.0.0.1", 8080), read.listen());
    assertEquals(new InetSocketAddress("127.0.0.2", 5353), read.resolver());
    assertEquals(-225L, read.seed());
    assertEquals(300, read.sockets());
    assertEquals(120, read.maxClients());
    assertEquals(100, read.maxConnections());
    assertEquals(List.of("look", "intake", "post"), read.requestClasses());
  }

  @Test
  void knownEnginesAreReadFromTheirKeys() throws Exception {
    assertEquals(
        List.of(
            new EndpointWatchEvent(
                17,
                true,
                false,
                List.of(
                    new EndpointEntry(
                        "a1",
                        "10.0.0.1",
                        7000,
                        "east",
                        "small-8",
                        3,
                        Status.READY,
                        0.5,
                        1_700_000_000_123L),
                    new EndpointEntry(
                        "a2", "10.0.0.2", 7001, "west", "big-16", 4, Status.DRAINING, 2, 5))),
            new EndpointWatchEvent(
                18,
                false,
                false,
                List.of(
                    new EndpointEntry("a2", "0.0.0.0", 0, "null", "null", 0, Status.GONE, 1, 0)))),
        read().initialEndpointUpdates());
  }

  @Test
  void settingsAreFlattenedToDottedNames() throws Exception {
    Map<String, Object> flattened = FlattenedConfig.of(read().settings());
    assertEquals(
        List.of(
            "instances=3",
            "me=1",
            "tick=51",
            "discovery=ask",
            "models=[small-8, big-16]",
            "zones=[east, west]",
            "caps.may_cancel=true",
            "caps.max_attempts=2",
            "caps.retry_after=true",
            "caps.max_retry_after=9000",
            "caps.max_open=70",
            "caps.streams_per_conn=9",
            "caps.connect_timeout=2500",
            "caps.conn_idle=610000",
            "guarantees.settle_after_doubt=300",
            "guarantees.fall=20000",
            "guarantees.warm_within=100000",
            "guarantees.fall_multiple=3.5",
            "guarantees.start_capacity=0.25",
            "guarantees.budget_span=120000",
            "guarantees.extra_floor=4",
            "guarantees.further_ratio=0.15",
            "guarantees.drain_grace=8000",
            "guarantees.ask_within=4000",
            "family_info.kind_cores=[8, 16]",
            "family_info.size_mb=[20000, 40000]",
            "family_info.grants=true",
            "family_info.max_grant_share=0.5",
            "family_info.tells_every=15000",
            "family_info.width_by_class=[2, 3]",
            "family_info.loads=[false, true]",
            "family_info.waits_for_loads=[true, false]",
            "report.fields=[busy_reqs, cpu_share, x1, pending]",
            "profiles=3",
            "profiles.0.name=look",
            "profiles.0.semantics=repeatable",
            "profiles.0.group=all",
            "profiles.0.aim=9000",
            "profiles.0.aim_stretch=1.5",
            "profiles.0.hard_limit=45000",
            "profiles.0.worth=2",
            "profiles.0.late_worth=0.25",
            "profiles.1.name=intake",
            "profiles.1.semantics=by_key",
            "profiles.1.group=zone",
            "profiles.1.window=180000",
            "profiles.1.aim=40000",
            "profiles.1.hard_limit=190000",
            "profiles.1.worth=4",
            "profiles.1.late_worth=3",
            "profiles.1.keep_order=true",
            "profiles.1.zones_open=[0, 1]",
            "profiles.1.models_allowed=[1]",
            "profiles.2.name=post",
            "profiles.2.semantics=once",
            "profiles.2.group=cell",
            "profiles.2.aim=7000",
            "profiles.2.hard_limit=8000"),
        flattened.entrySet().stream()
            .map(entry -> entry.getKey() + "=" + entry.getValue())
            .toList());
  }

  @Test
  void requestClassesAreReadFromTheirProfiles() throws Exception {
    Map<String, Object> flattened = FlattenedConfig.of(read().settings());
    assertEquals(
        new RequestClassConfig(
            Effect.PURE,
            DeduplicationGroup.ALL,
            0,
            9000,
            1.5,
            45_000,
            2,
            0.25,
            2,
            false,
            true,
            false,
            null,
            null),
        requestClassConfig(flattened, 0));
    assertEquals(
        new RequestClassConfig(
            Effect.RECEIPTED,
            DeduplicationGroup.ZONE,
            180_000,
            40_000,
            0,
            190_000,
            4,
            3,
            3,
            true,
            false,
            true,
            List.of(0, 1),
            List.of(1)),
        requestClassConfig(flattened, 1));
    assertEquals(
        new RequestClassConfig(
            Effect.EFFECTFUL,
            DeduplicationGroup.CELL,
            0,
            7000,
            0,
            8000,
            1,
            0,
            1,
            false,
            false,
            false,
            null,
            null),
        requestClassConfig(flattened, 2));
  }

  /** Guards against a lookup under a wrong key, which would find no value and report no error. */
  @Test
  void dispatchPolicyLooksUpOnlyTheseSettings() throws Exception {
    RecordingSettings settings = new RecordingSettings(FlattenedConfig.of(read().settings()));
    DefaultDispatchPolicy policy = new DefaultDispatchPolicy(1_000_000, 5, settings, NO_ACTIONS);
    Engine cold = new Engine("a1");
    policy.onEndpointPollFailed(1_000_000);
    policy.onEndpointsChanged(
        1_000_000,
        true,
        List.of(new EndpointUpdate(cold, 0, 0, 0, 1, Status.READY, 1_000_000 - 50_000)));
    Request first = request(0, 1_100_000);
    policy.onRequestArrived(1_100_000, first);
    policy.applyDecisions(1_100_000);
    policy.onAttemptEnded(
        1_100_100, first.attempts.get(0), AttemptOutcome.CONNECTION_LOST, 10, false, 0, 0, null);
    policy.applyDecisions(1_100_100);
    policy.onEndpointsChanged(
        1_100_200, true, List.of(new EndpointUpdate(cold, 0, 0, 0, 1, Status.READY, 1_100_000)));
    policy.onRequestArrived(1_100_200, request(0, 1_100_200));
    policy.applyDecisions(1_100_200);
    policy.onShutdownDeadline(1_100_300, first);
    Set<String> names = new TreeSet<>();
    for (String name : settings.names) {
      names.add(name.replaceFirst("^profiles[.][0-9]+[.]", "profiles.N."));
    }
    assertEquals(
        new TreeSet<>(
            Set.of(
                "caps.max_attempts",
                "caps.max_retry_after",
                "caps.may_cancel",
                "caps.retry_after",
                "discovery",
                "family_info.grants",
                "family_info.kind_cores",
                "family_info.loads",
                "family_info.max_grant_share",
                "family_info.size_mb",
                "family_info.tells_every",
                "family_info.waits_for_loads",
                "family_info.width_by_class",
                "guarantees.ask_within",
                "guarantees.budget_span",
                "guarantees.extra_floor",
                "guarantees.fall",
                "guarantees.fall_multiple",
                "guarantees.further_ratio",
                "guarantees.settle_after_doubt",
                "guarantees.start_capacity",
                "guarantees.warm_within",
                "instances",
                "me",
                "profiles",
                "profiles.N.aim",
                "profiles.N.aim_stretch",
                "profiles.N.group",
                "profiles.N.hard_limit",
                "profiles.N.keep_order",
                "profiles.N.late_worth",
                "profiles.N.models_allowed",
                "profiles.N.semantics",
                "profiles.N.window",
                "profiles.N.worth",
                "profiles.N.zones_open",
                "report.fields",
                "tick")),
        names);
  }

  @Test
  void invariantMonitorLooksUpOnlyTheseSettings() throws Exception {
    RecordingSettings settings = new RecordingSettings(FlattenedConfig.of(read().settings()));
    new InvariantMonitor(new Settings(settings));
    assertEquals(
        new TreeSet<>(
            Set.of(
                "guarantees.drain_grace",
                "guarantees.budget_span",
                "guarantees.extra_floor",
                "guarantees.further_ratio",
                "guarantees.fall",
                "guarantees.fall_multiple",
                "guarantees.start_capacity",
                "guarantees.warm_within")),
        settings.names);
  }

  private static RequestClassConfig requestClassConfig(
      Map<String, Object> flattened, int requestClass) {
    Request request = request(requestClass, 10);
    new DefaultDispatchPolicy(10, 5, flattened, NO_ACTIONS).onRequestArrived(10, request);
    return request.requestClass.config;
  }

  private static Request request(int requestClass, long now) {
    return new Request("id", requestClass, 0, false, now, now + 7000, 100, 50, null);
  }

  private static GatewayConfig read() throws IOException, URISyntaxException {
    return GatewayConfig.read(
        Path.of(
            ConfigurationFormatGuardTest.class.getResource("/guards/configuration.json").toURI()));
  }

  /** Settings that record the names under which they are looked up. */
  private static final class RecordingSettings extends HashMap<String, Object> {
    private static final long serialVersionUID = 1L;
    private final transient Set<String> names = new TreeSet<>();

    RecordingSettings(Map<String, Object> values) {
      super(new LinkedHashMap<>(values));
    }

    @Override
    public Object get(Object name) {
      names.add((String) name);
      return super.get(name);
    }

    @Override
    public boolean containsKey(Object name) {
      names.add((String) name);
      return super.containsKey(name);
    }
  }
}
