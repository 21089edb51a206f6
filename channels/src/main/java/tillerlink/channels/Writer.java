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
 * The writer of this gateway's own events, which its clients append. Each request gets its result
 * once the event is durable. Times are tenths of a millisecond.
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

  /** The sequence number of the last own event that is durable; 0 if there is none. */
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

  /** Returns the sequence number of the last own event that is durable; 0 if there is none. */
  long top() {
    return top;
  }

  /**
   * Returns the highest stamp, {@code floor} at most, that is lower than those of all own events
   * that are pending or will be written.
   *
   * @param floor the stamp up to which the clock issues no stamps any more
   */
  long floor(long floor) {
    return pending.floor(floor);
  }

  /**
   * Returns the number of appends that were refused because this machine's clock is too far ahead
   * of the fleet's time.
   */
  long refusedAhead() {
    return refusedAhead;
  }

  /** Returns the storage quota for events. */
  StorageQuota quota() {
    return quota;
  }

  // ---- appends ----

  /** Appends an event; see {@link Channels#append}. */
  void append(
      long now, long wall, String channel, AppendRequest request, Consumer<AppendResult> onResult) {
    Optional<String> error = findError(channel, request);
    if (error.isPresent()) {
      onResult.accept(new AppendResult.Refused(error.get(), 0));
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

  /** Returns why an append is invalid; empty if it is valid. */
  private Optional<String> findError(String channel, AppendRequest request) {
    if (channel.isEmpty() || channel.length() > MAX_NAME_LENGTH) {
      return Optional.of("a channel's name has 1 to 64 characters");
    }
    Optional<String> error = request.fault();
    if (error.isEmpty()
        && !journal.logs().containsKey(channel)
        && journal.logs().size() >= config.maxChannels()) {
      return Optional.of(
          "there are " + config.maxChannels() + " channels already, and no more are allowed");
    }
    return error;
  }

  /**
   * Advances the clock beyond the stamps of the events that the client has seen.
   *
   * @return false if one of the stamps is too far ahead of the fleet's time
   */
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

  /**
   * Counts, logs and returns the refusal of an append because of this machine's clock.
   *
   * @param millis the milliseconds by which the event's stamp would exceed the allowed lead
   */
  private AppendResult refuseAhead(long now, long millis) {
    refusedAhead++;
    log.log(
        now,
        "ahead",
        "refused an append: its stamp would be "
            + millis
            + " ms further ahead of the"
            + " fleet's time than the "
            + config.aheadMillis()
            + " ms allowed; correct this machine's clock");
    return new AppendResult.Refused(
        "this gateway's clock is too far ahead of the fleet's", millis * Channels.TENTHS_PER_MILLI);
  }

  // ---- retries ----

  /**
   * Handles a request that is a retry, which means that its key was used before in this channel.
   * The retry gets the result of the first request, or is refused if its content differs.
   *
   * @return whether the request is a retry
   */
  private boolean handleRetry(
      String channel, AppendRequest request, Consumer<AppendResult> onResult) {
    AppendRequest original = pending.waitingWith(channel, request.key());
    if (original != null) {
      handlePendingRetry(channel, original, request, onResult);
      return true;
    }
    ChannelLog channelLog = journal.logs().get(channel);
    Dot dot = channelLog == null ? null : channelLog.key(request.key());
    if (dot == null) {
      return false;
    }
    Entry entry = journal.entry(dot.incarnation(), dot.sequence());
    boolean isSame = entry == null || hasSameContent(entry, request);
    onResult.accept(isSame ? new AppendResult.Taken(dot, true) : refuseOtherContent());
    return true;
  }

  /** Adds a retry to the requests that wait for the same event, unless it has to be refused. */
  private void handlePendingRetry(
      String channel,
      AppendRequest original,
      AppendRequest retry,
      Consumer<AppendResult> onResult) {
    if (pending.isFull(channel, retry.key())) {
      onResult.accept(
          new AppendResult.Refused("too many ask with this key", StorageQuota.RETRY_AFTER));
    } else if (!hasSameContent(original, retry)) {
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

  private static boolean hasSameContent(AppendRequest first, AppendRequest second) {
    return first.kind() == second.kind()
        && first.cue().equals(second.cue())
        && first.text().equals(second.text());
  }

  private static AppendResult refuseOtherContent() {
    return new AppendResult.Refused("this key stands for an event that says otherwise", 0);
  }

  // ---- events ----

  /** Creates the event of a valid request, and starts to store it. */
  private void write(
      long now, long wall, String channel, AppendRequest request, Consumer<AppendResult> onResult) {
    Entry entry = createEvent(wall, channel, request);
    if (pending.isFull() || !isWithinQuota(entry)) {
      log.log(
          now,
          "full",
          "refused an append to channel " + channel + ": too many events are not stable yet");
      onResult.accept(new AppendResult.Refused("the channel is full", StorageQuota.RETRY_AFTER));
      return;
    }
    Invariant.holds(
        !journal.held().has(incarnation, entry.sequence()),
        () -> "an own number is used a second time");
    if (!store.entry(entry, () -> onDurable(entry, onResult))) {
      log.log(now, "disk", "cannot store an append: the disk is full or has failed");
      onResult.accept(
          new AppendResult.Refused(
              "it can't be kept here: the disk is full or has failed", StorageQuota.RETRY_AFTER));
      return;
    }
    sequence++;
    pending.add(entry, request, onResult);
  }

  /** Returns whether the storage quota has room for an event. */
  private boolean isWithinQuota(Entry entry) {
    int gateways = membership.names().size() + 1;
    return quota.allows(journal, entry.channel(), entry.weight(), gateways, pending.bytes());
  }

  /** Creates the event of a request, with the next sequence number and stamp. */
  private Entry createEvent(long wall, String channel, AppendRequest request) {
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
        seenOnCue(channel, request),
        newlySeen());
  }

  /**
   * Returns the events on the request's cue that the client had seen. If the request does not name
   * them, these are the events in effect at this gateway.
   */
  private List<Dot> seenOnCue(String channel, AppendRequest request) {
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
   * Returns the last event held without a gap of each other writer that has provisional events, for
   * {@link AppendRequest#MAX_SEEN} writers at most. An event that the last non-empty list contained
   * is omitted.
   */
  private List<Dot> newlySeen() {
    List<Dot> seen = new ArrayList<>();
    for (long writer : journal.provisional().incarnations()) {
      long prefix = journal.held().prefix(writer);
      if (writer != incarnation
          && prefix > 0
          && seen.size() < AppendRequest.MAX_SEEN
          && isNew(writer, prefix)) {
        Entry lastEvent = journal.entry(writer, prefix);
        seen.add(new Dot(writer, prefix, lastEvent == null ? 0 : lastEvent.stamp()));
      }
    }
    lastSeen = seen.isEmpty() ? lastSeen : List.copyOf(seen);
    return seen;
  }

  /** Returns whether an event was not in the last non-empty list of events seen. */
  private boolean isNew(long writer, long prefix) {
    for (Dot dot : lastSeen) {
      if (dot.incarnation() == writer && dot.sequence() == prefix) {
        return false;
      }
    }
    return true;
  }

  /** Publishes an event that has become durable: to the journal, other gateways and the client. */
  private void onDurable(Entry entry, Consumer<AppendResult> onResult) {
    pending.remove(entry);
    top = entry.sequence();
    journal.put(entry);
    transport.spread(new Piece(0, true, List.of(entry)), journal.voters());
    pending.complete(entry, onResult);
  }
}
