package tillerlink.channels;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import tillerlink.channels.entry.AppendRequest;
import tillerlink.channels.entry.AppendResult;
import tillerlink.channels.entry.HybridLogicalClock;
import tillerlink.channels.journal.ChannelLog;
import tillerlink.channels.journal.Journal;
import tillerlink.channels.quota.StorageQuota;
import tillerlink.channels.recovery.Store;
import tillerlink.channels.sync.ChannelTransport;
import tillerlink.cluster.Invariant;
import tillerlink.cluster.MembershipView;
import tillerlink.messages.channels.ChannelsMessage.Piece;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.Entry;

/**
 * Writes this gateway's own events: what clients append. Each request gets its result once the
 * event is durable. Times are tenths of a millisecond.
 */
final class Writer {
  private static final int MAX_NAME_LENGTH = 64;

  private final ChannelLogConfig config;
  private final MembershipView membership;
  private final Journal journal;
  private final Store store;
  private final HybridLogicalClock clock;
  private final ChannelTransport transport;
  private final StorageQuota quota;
  private final RateLimitedLog log;
  private final long incarnation;
  private final PendingAppends pending = new PendingAppends();
  private long sequence;
  private long top;
  private long refusedAhead;
  private List<Dot> lastSeen = List.of();

  Writer(
      ChannelLogConfig config,
      Journal journal,
      Store store,
      HybridLogicalClock clock,
      ChannelTransport transport,
      long incarnation,
      RateLimitedLog log) {
    this.config = config;
    membership = transport.membership();
    this.journal = journal;
    this.store = store;
    this.clock = clock;
    this.transport = transport;
    this.incarnation = incarnation;
    this.log = log;
    quota = new StorageQuota(config.bytes());
  }

  // ---- state ----

  /** The sequence number of the last own event that is durable. */
  long top() {
    return top;
  }

  /** No own event that is pending, nor a later one, has this stamp or a lower one. */
  long floor(long floor) {
    return pending.floor(floor);
  }

  /** Appends that were refused because this machine's clock is too far ahead. */
  long refusedAhead() {
    return refusedAhead;
  }

  StorageQuota quota() {
    return quota;
  }

  // ---- appends ----

  /** See {@link Channels#append}. */
  void append(
      long now, long wall, String channel, AppendRequest request, Consumer<AppendResult> onResult) {
    Optional<String> fault = fault(channel, request);
    if (fault.isPresent()) {
      onResult.accept(new AppendResult.Refused(fault.get(), 0));
      return;
    }
    if (!request.key().isEmpty() && handleRetry(channel, request, onResult)) {
      return;
    }
    if (!observeSeen(now, wall, request)) {
      onResult.accept(
          new AppendResult.Refused(
              "what it names as seen is stamped too far ahead of the time", 0));
      return;
    }
    long millisTooFarAhead = clock.millisTooFarAhead(now, wall);
    if (millisTooFarAhead > 0) {
      onResult.accept(refuseAhead(now, millisTooFarAhead));
      return;
    }
    write(now, wall, channel, request, onResult);
  }

  private Optional<String> fault(String channel, AppendRequest request) {
    if (channel.isEmpty() || channel.length() > MAX_NAME_LENGTH) {
      return Optional.of("a channel's name has 1 to 64 characters");
    }
    Optional<String> fault = request.fault();
    if (fault.isEmpty()
        && !journal.logs().containsKey(channel)
        && journal.logs().size() >= config.maxChannels()) {
      return Optional.of(
          "there are " + config.maxChannels() + " channels already, and no more are allowed");
    }
    return fault;
  }

  /** Observes the stamps that the client has seen; false at one that is too far ahead. */
  private boolean observeSeen(long now, long wall, AppendRequest request) {
    if (request.seen() == null) {
      return true;
    }
    for (Dot dot : request.seen()) {
      if (clock.isTooFarAhead(now, wall, dot.stamp())) {
        return false;
      }
      clock.observe(dot.stamp());
    }
    return true;
  }

  private AppendResult refuseAhead(long now, long millis) {
    refusedAhead++;
    log.log(
        now,
        "ahead",
        "an append was refused: its stamp would be "
            + millis
            + " ms further ahead of the"
            + " fleet's time than the "
            + config.aheadMillis()
            + " ms allowed; set this machine's clock right");
    return new AppendResult.Refused(
        "this gateway's clock is too far ahead of the fleet's", millis * Channels.UNITS_PER_MILLI);
  }

  // ---- retries ----

  /** Whether a request is the retry of another with its key; then its result is seen to. */
  private boolean handleRetry(
      String channel, AppendRequest request, Consumer<AppendResult> onResult) {
    AppendRequest waiting = pending.waitingWith(channel, request.key());
    if (waiting != null) {
      handlePendingRetry(channel, waiting, request, onResult);
      return true;
    }
    ChannelLog channelLog = journal.logs().get(channel);
    Dot dot = channelLog == null ? null : channelLog.key(request.key());
    if (dot == null) {
      return false;
    }
    Entry entry = journal.entry(dot.incarnation(), dot.sequence());
    boolean same = entry == null || hasSameContent(entry, request);
    onResult.accept(same ? new AppendResult.Taken(dot, true) : refuseOtherContent());
    return true;
  }

  private void handlePendingRetry(
      String channel, AppendRequest waiting, AppendRequest retry, Consumer<AppendResult> onResult) {
    if (pending.isFull(channel, retry.key())) {
      onResult.accept(
          new AppendResult.Refused("too many ask with this key", StorageQuota.RETRY_AFTER));
    } else if (!hasSameContent(waiting, retry)) {
      onResult.accept(refuseOtherContent());
    } else {
      pending.addRetry(channel, retry, onResult);
    }
  }

  private static boolean hasSameContent(Entry entry, AppendRequest request) {
    return entry.kind() == request.kind()
        && entry.cue().equals(request.cue())
        && entry.text().equals(request.text());
  }

  private static boolean hasSameContent(AppendRequest one, AppendRequest other) {
    return one.kind() == other.kind()
        && one.cue().equals(other.cue())
        && one.text().equals(other.text());
  }

  private static AppendResult refuseOtherContent() {
    return new AppendResult.Refused("this key stands for an event that says otherwise", 0);
  }

  // ---- events ----

  private void write(
      long now, long wall, String channel, AppendRequest request, Consumer<AppendResult> onResult) {
    Entry entry = event(wall, channel, request);
    if (pending.isFull() || !isWithinQuota(entry)) {
      log.log(
          now,
          "full",
          "channel " + channel + " is full of events that are not agreed on: appends are refused");
      onResult.accept(new AppendResult.Refused("the channel is full", StorageQuota.RETRY_AFTER));
      return;
    }
    Invariant.holds(
        !journal.held().has(incarnation, entry.sequence()),
        () -> "an own number is used a second time");
    if (!store.entry(entry, () -> onDurable(entry, onResult))) {
      log.log(now, "disk", "an append could not be kept: the disk is full or has failed");
      onResult.accept(
          new AppendResult.Refused(
              "it can't be kept here: the disk is full or has failed", StorageQuota.RETRY_AFTER));
      return;
    }
    sequence++;
    pending.add(entry, request, onResult);
  }

  private boolean isWithinQuota(Entry entry) {
    int gateways = membership.names().size() + 1;
    return quota.allows(journal, entry.channel(), entry.weight(), gateways, pending.bytes());
  }

  private Entry event(long wall, String channel, AppendRequest request) {
    return new Entry(
        membership.self(),
        membership.site(membership.self()),
        incarnation,
        sequence + 1,
        clock.next(wall),
        channel,
        request.kind(),
        request.cue(),
        request.text(),
        request.airsAt(),
        request.key(),
        over(channel, request),
        seen());
  }

  /** The events on the cue that the writer had seen: all in effect here if it doesn't say. */
  private List<Dot> over(String channel, AppendRequest request) {
    if (request.seen() != null) {
      return List.copyOf(request.seen());
    }
    ChannelLog channelLog = journal.logs().get(channel);
    return channelLog == null || request.cue().isEmpty()
        ? List.of()
        : channelLog.cue(request.cue(), journal.upTo()).standing().stream()
            .limit(AppendRequest.MAX_SEEN)
            .toList();
  }

  /**
   * What is held of recently active writers, as far as it is more than when this gateway wrote
   * last.
   */
  private List<Dot> seen() {
    List<Dot> seen = new ArrayList<>();
    for (long other : journal.provisional().incarnations()) {
      long prefix = journal.held().prefix(other);
      if (other != incarnation
          && prefix > 0
          && seen.size() < AppendRequest.MAX_SEEN
          && isNew(other, prefix)) {
        Entry last = journal.entry(other, prefix);
        seen.add(new Dot(other, prefix, last == null ? 0 : last.stamp()));
      }
    }
    lastSeen = seen.isEmpty() ? lastSeen : List.copyOf(seen);
    return seen;
  }

  private boolean isNew(long other, long prefix) {
    for (Dot dot : lastSeen) {
      if (dot.incarnation() == other && dot.sequence() == prefix) {
        return false;
      }
    }
    return true;
  }

  private void onDurable(Entry entry, Consumer<AppendResult> onResult) {
    pending.remove(entry);
    top = entry.sequence();
    journal.put(entry);
    transport.spread(new Piece(0, true, List.of(entry)), journal.voters());
    pending.complete(entry, onResult);
  }
}
