package tillerlink.net.state;

import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.net.wire.EngineCommand;
import tillerlink.net.wire.EngineResponse;

/**
 * What the responses on one line-protocol connection mean for its attempts, and requests for the
 * further pages of their results. Owned by the event-loop thread.
 */
final class EngineResponseHandler {
  private static final int MAX_PAGES = 64;
  private static final int MAX_RESULT_BYTES = 48_000;

  private final EngineConnection connection;
  private final EngineTransport.Owner owner;

  EngineResponseHandler(EngineConnection connection, EngineTransport.Owner owner) {
    this.connection = connection;
    this.owner = owner;
  }

  /**
   * Guards the other attempts against a response that belongs to none here, or that comes twice:
   * its framing is sound, so it is ignored and the connection goes on.
   *
   * @throws IllegalArgumentException if the connection can't go on
   */
  void handle(EngineResponse response) {
    InFlightAttempt inFlight = connection.attempt(response.id());
    if (inFlight == null) {
      if (response.word() != EngineResponse.Word.YES && !connection.recentlyEnded(response.id())) {
        owner.warnRateLimited(
            "engine " + connection.engineId() + " responded to an unknown attempt");
      }
      return;
    }
    switch (response.word()) {
      case OK -> startResult(inFlight, response);
      case BATCH -> addPage(inFlight, response);
      case REFUSED -> owner.attemptEnded(inFlight, AttemptOutcome.REJECTED);
      case ERROR -> owner.attemptEnded(inFlight, outcomeOfError(inFlight));
      case STALE -> owner.attemptEnded(inFlight, AttemptOutcome.NOT_SENT);
      case PROGRESS -> reportProgress(inFlight, response);
      default -> throw new IllegalArgumentException("a word that is no response to an attempt");
    }
  }

  /** A page that the engine no longer has says nothing against what it executes. */
  private static AttemptOutcome outcomeOfError(InFlightAttempt inFlight) {
    return inFlight.pages == null ? AttemptOutcome.FAILED : AttemptOutcome.RESPONSE_LOST;
  }

  private void reportProgress(InFlightAttempt inFlight, EngineResponse response) {
    if (response.about() != null) {
      owner.attemptProgressed(inFlight, progress(response.about()), response.level());
    }
  }

  private static AttemptProgress progress(EngineResponse.About about) {
    return switch (about) {
      case SHARE_DONE -> AttemptProgress.PROGRESS;
      case MEGABYTES_MISSING -> AttemptProgress.SPILLS;
      case PARKED -> AttemptProgress.WAITS;
    };
  }

  /** The first page has come: the others are requested at once. */
  private void startResult(InFlightAttempt inFlight, EngineResponse response) {
    if (inFlight.pages != null) {
      return;
    }
    int pages = Math.max(1, response.number());
    if (pages > MAX_PAGES) {
      throw new IllegalArgumentException("a result of " + pages + " pages");
    }
    inFlight.pages = new byte[pages][];
    inFlight.missingPages = pages;
    inFlight.addPage(0, response.body());
    requestMissingPages(inFlight);
    onPageAdded(inFlight, response);
  }

  private void addPage(InFlightAttempt inFlight, EngineResponse response) {
    if (inFlight.lacks(response.number())) {
      inFlight.addPage(response.number(), response.body());
      onPageAdded(inFlight, response);
    }
  }

  /** Requests what is missing of a result, on this connection. */
  void requestMissingPages(InFlightAttempt inFlight) {
    for (int page = 1; page < inFlight.pages.length; page++) {
      if (inFlight.lacks(page)) {
        connection.write(EngineCommand.turn(inFlight.id(), page));
      }
    }
  }

  /** Counts a page, and ends the attempt with the last. */
  private void onPageAdded(InFlightAttempt inFlight, EngineResponse response) {
    owner.retainedBytesChanged(response.body().length);
    if (inFlight.bytes > MAX_RESULT_BYTES) {
      inFlight.pages = null;
      throw new IllegalArgumentException("a result too long");
    }
    if (inFlight.missingPages == 0) {
      if (inFlight.pages.length > 1) {
        connection.write(EngineCommand.shut(inFlight.id()));
      }
      owner.attemptEnded(inFlight, AttemptOutcome.SUCCEEDED);
    }
  }
}
