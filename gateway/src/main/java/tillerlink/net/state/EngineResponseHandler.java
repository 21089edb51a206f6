package tillerlink.net.state;

import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.net.wire.EngineCommand;
import tillerlink.net.wire.EngineResponse;

/**
 * A handler that applies the responses on one line-protocol connection to its attempts, and
 * requests the further pages of their results. Confined to the event-loop thread.
 */
final class EngineResponseHandler {
  private static final int MAX_PAGES = 64;

  private final EngineConnection connection;
  private final EngineTransport.Owner owner;

  EngineResponseHandler(EngineConnection connection, EngineTransport.Owner owner) {
    this.connection = connection;
    this.owner = owner;
  }

  /**
   * Applies one response. A response to an attempt that is not on the connection, or a second
   * response, is ignored and the connection stays open, because its framing is valid. This guards
   * the other attempts on the connection.
   *
   * @throws IllegalArgumentException if the response violates the protocol, so that the connection
   *     must be closed
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
      default ->
          throw new IllegalArgumentException(
              "response word " + response.word() + " is not valid for an attempt");
    }
  }

  /**
   * Returns the outcome of an attempt to which the engine responded with an error. An error in
   * response to a request for a page means that the engine no longer has the page, so the attempt
   * has not failed: only its response is lost.
   */
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

  /**
   * Stores the first page of a result and requests all other pages at once. A second first page is
   * ignored.
   */
  private void startResult(InFlightAttempt inFlight, EngineResponse response) {
    if (inFlight.pages != null) {
      return;
    }
    int pages = Math.max(1, response.number());
    if (pages > MAX_PAGES) {
      throw new IllegalArgumentException("result page count " + pages + " exceeds " + MAX_PAGES);
    }
    inFlight.pages = new byte[pages][];
    inFlight.missingPages = pages;
    storePage(inFlight, 0, response.body());
    requestMissingPages(inFlight);
    endIfComplete(inFlight);
  }

  /** Stores a further page of a result; ignores one that is not missing. */
  private void addPage(InFlightAttempt inFlight, EngineResponse response) {
    if (inFlight.isPageMissing(response.number())) {
      storePage(inFlight, response.number(), response.body());
      endIfComplete(inFlight);
    }
  }

  /** Requests the missing pages of a result on this connection. */
  void requestMissingPages(InFlightAttempt inFlight) {
    for (int page = 1; page < inFlight.pages.length; page++) {
      if (inFlight.isPageMissing(page)) {
        connection.write(EngineCommand.fetchPage(inFlight.id(), page));
      }
    }
  }

  private static void storePage(InFlightAttempt inFlight, int number, byte[] page) {
    if (!inFlight.hasRoomFor(page.length)) {
      inFlight.pages = null;
      throw new IllegalArgumentException(
          "result length "
              + (inFlight.resultBytes + page.length)
              + " exceeds "
              + InFlightAttempt.MAX_RESULT_BYTES);
    }
    inFlight.addPage(number, page);
  }

  /** Ends an attempt whose result is complete. */
  private void endIfComplete(InFlightAttempt inFlight) {
    if (inFlight.missingPages == 0) {
      if (inFlight.pages.length > 1) {
        connection.write(EngineCommand.release(inFlight.id()));
      }
      owner.attemptEnded(inFlight, AttemptOutcome.SUCCEEDED);
    }
  }
}
