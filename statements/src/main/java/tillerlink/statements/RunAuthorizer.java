package tillerlink.statements;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import tillerlink.statements.catalog.Catalog;
import tillerlink.statements.catalog.CatalogEntry;
import tillerlink.statements.lease.LeaseConfig;
import tillerlink.statements.lease.LeaseHolder;
import tillerlink.statements.run.Permission;
import tillerlink.statements.run.Permission.Reason;
import tillerlink.statements.run.Prepared;

/**
 * Decides whether a prepared statement may be run: it must be ready in the catalog, and this
 * gateway must hold valid leases on all of its table groups. Times are in tenths of a millisecond.
 */
final class RunAuthorizer {
  /** When to try again where nothing better is known. */
  private static final long RETRY_SOON = 500;

  private final EventClock clock;
  private final LeaseConfig config;
  private final CatalogReplica replica;
  private final LeaseHolder leases;
  private final Map<String, Prepared> cache = new TreeMap<>();

  RunAuthorizer(EventClock clock, LeaseConfig config, CatalogReplica replica, LeaseHolder leases) {
    this.clock = clock;
    this.config = config;
    this.replica = replica;
    this.leases = leases;
  }

  Optional<Prepared> lookUp(String name) {
    Catalog catalog = replica.catalog();
    Optional<CatalogEntry> found = catalog.find(name);
    if (found.isEmpty()) {
      cache.remove(name);
      return Optional.empty();
    }
    CatalogEntry entry = found.get();
    for (int group : entry.definition().groups()) {
      leases.onGroupNeeded(clock.now(), group, catalog);
    }
    Prepared prepared = cache.get(name);
    if (prepared == null || !prepared.isOf(entry)) {
      prepared = Prepared.of(entry);
      if (cache.size() >= Catalog.STATEMENTS_MAX) {
        cache.clear();
      }
      cache.put(name, prepared);
    }
    return Optional.of(prepared);
  }

  Permission check(long now, Prepared prepared) {
    String name = prepared.definition().name();
    CatalogEntry entry = replica.catalog().find(name).orElse(null);
    if (entry == null) {
      return deny(Reason.OTHER, name + " is not prepared", 0);
    }
    if (entry.generation() != prepared.generation()
        || !entry.versions().equals(prepared.versions())) {
      return deny(Reason.OTHER, name + " was prepared anew", 0);
    }
    return switch (entry.state()) {
      case INVALID ->
          deny(Reason.INVALID, "change " + entry.change() + " made " + name + " invalid", 0);
      case ANEW -> deny(Reason.ANEW, name + " is being prepared anew", RETRY_SOON);
      case READY -> checkLeases(now, prepared);
    };
  }

  private Permission checkLeases(long now, Prepared prepared) {
    long until = Long.MAX_VALUE;
    for (Map.Entry<Integer, Long> each : prepared.versions().entrySet()) {
      int group = each.getKey();
      long validUntil = leases.validUntil(group, each.getValue()) - config.margin();
      // No attempt is started while a change is announced, though the lease may still be valid:
      // those in flight must end.
      if (validUntil <= now || replica.catalog().blocked(group)) {
        return denyWithoutLease(now, group);
      }
      until = Math.min(until, validUntil);
    }
    return new Permission.Granted(until);
  }

  private Permission denyWithoutLease(long now, int group) {
    Catalog catalog = replica.catalog();
    leases.onGroupNeeded(now, group, catalog);
    if (catalog.blocked(group)) {
      return deny(
          Reason.CHANGING, "the schema of group " + group + " is changing", config.length() / 4);
    }
    leases.expediteRequest(now);
    boolean connected = now - leases.heardAt() < config.length();
    return deny(
        Reason.UNKNOWN,
        "this gateway holds no lease on group " + group,
        connected ? RETRY_SOON : config.length() / 2);
  }

  private static Permission deny(Reason reason, String message, long retryAfter) {
    return new Permission.Denied(reason, message, retryAfter);
  }

  void onAttemptStarted(Prepared prepared) {
    prepared.definition().groups().forEach(leases::onAttemptStarted);
  }

  void onAttemptEnded(Prepared prepared, long mayRunUntil) {
    for (int group : prepared.definition().groups()) {
      if (mayRunUntil > 0) {
        leases.onAttemptUncertain(clock.now(), group, mayRunUntil);
      }
      leases.onAttemptEnded(group);
    }
  }
}
