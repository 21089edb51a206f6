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
 * The check of whether a prepared statement may be run. The statement must be ready in the catalog,
 * and this gateway must have valid leases on all of its table groups. Times are in tenths of a
 * millisecond.
 */
final class RunAuthorizer {
  /** The retry delay to suggest where no better estimate exists. */
  private static final long DEFAULT_RETRY_DELAY = 500;

  private final EventClock clock;
  private final LeaseConfig config;
  private final CatalogReplica replica;
  private final LeaseHolder leases;

  /** The statements that were looked up, by name; each is parsed once for its catalog entry. */
  private final Map<String, Prepared> cache = new TreeMap<>();

  RunAuthorizer(EventClock clock, LeaseConfig config, CatalogReplica replica, LeaseHolder leases) {
    this.clock = clock;
    this.config = config;
    this.replica = replica;
    this.leases = leases;
  }

  /**
   * Returns the statement of that name, and registers its table groups as needed so that leases on
   * them are requested.
   *
   * @return empty if no statement of that name is in the catalog
   */
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
    if (prepared == null || !prepared.wasCreatedFrom(entry)) {
      prepared = Prepared.of(entry);
      if (cache.size() >= Catalog.STATEMENTS_MAX) {
        cache.clear();
      }
      cache.put(name, prepared);
    }
    return Optional.of(prepared);
  }

  /** Checks whether an attempt of the statement may be written now. */
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
      case ANEW -> deny(Reason.ANEW, name + " is being prepared anew", DEFAULT_RETRY_DELAY);
      case READY -> checkLeases(now, prepared);
    };
  }

  private Permission checkLeases(long now, Prepared prepared) {
    long earliestEnd = Long.MAX_VALUE;
    for (Map.Entry<Integer, Long> groupVersion : prepared.versions().entrySet()) {
      int group = groupVersion.getKey();
      long validUntil = leases.validUntil(group, groupVersion.getValue()) - config.margin();
      // While a change is announced, no attempt is started even under a valid lease, because the
      // attempts in flight must end before the change takes effect.
      if (validUntil <= now || replica.catalog().blocked(group)) {
        return denyWithoutLease(now, group);
      }
      earliestEnd = Math.min(earliestEnd, validUntil);
    }
    return new Permission.Granted(earliestEnd);
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
        connected ? DEFAULT_RETRY_DELAY : config.length() / 2);
  }

  private static Permission deny(Reason reason, String message, long retryAfter) {
    return new Permission.Denied(reason, message, retryAfter);
  }

  /** Records that an attempt of the statement is written under its leases. */
  void onAttemptStarted(Prepared prepared) {
    prepared.definition().groups().forEach(leases::onAttemptStarted);
  }

  /**
   * Records that an attempt of the statement ended at this gateway.
   *
   * @param mayRunUntil the latest time at which an engine may still execute the attempt; 0 if no
   *     engine does
   */
  void onAttemptEnded(Prepared prepared, long mayRunUntil) {
    for (int group : prepared.definition().groups()) {
      if (mayRunUntil > 0) {
        leases.onAttemptUncertain(clock.now(), group, mayRunUntil);
      }
      leases.onAttemptEnded(group);
    }
  }
}
