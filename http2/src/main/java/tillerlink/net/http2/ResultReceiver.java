package tillerlink.net.http2;

import tillerlink.net.state.EngineAddress;
import tillerlink.net.state.EngineTransport;
import tillerlink.net.state.InFlightAttempt;

/**
 * Turns the responses on one connection's streams into progress and results of their attempts.
 * Owned by the event-loop thread.
 */
final class ResultReceiver {
  private static final int MAX_RESULT_BYTES = 48_000;

  private final EngineTransport.Owner owner;
  private final EngineAddress engineAddress;

  ResultReceiver(EngineTransport.Owner owner, EngineAddress engineAddress) {
    this.owner = owner;
    this.engineAddress = engineAddress;
  }

  /**
   * Takes an interim response, which may report the attempt's progress.
   *
   * @param stream null if it is over already
   */
  void onInterim(AttemptStream stream, Event.Interim interim) {
    if (stream == null) {
      return;
    }
    EngineResponses.Progress progress = EngineResponses.progress(interim.headers());
    if (progress.isValid()) {
      owner.attemptProgressed(stream.inFlight, progress.kind(), progress.level());
    }
  }

  /**
   * Takes the headers of the final response.
   *
   * @param stream null if it is over already
   * @return how the stream ends by them; null if it goes on
   */
  StreamTermination onResponse(AttemptStream stream, Event.Response response) {
    if (stream == null) {
      return null;
    }
    boolean resumed = stream.inFlight.resultStarted();
    if (!EngineResponses.bringsResult(response, resumed)) {
      return EngineResponses.termination(response, resumed);
    }
    stream.responseAccepted = true;
    if (!resumed) {
      stream.inFlight.startResult();
    }
    return response.last() ? StreamTermination.COMPLETED : null;
  }

  /**
   * Takes a part of the response's body.
   *
   * @param stream null if it is over already
   * @return how the stream ends by it; null if it goes on
   */
  StreamTermination onBody(AttemptStream stream, Event.Body body) {
    if (stream == null || !stream.responseAccepted) {
      return null;
    }
    InFlightAttempt inFlight = stream.inFlight;
    if (inFlight.resultSize() + body.bytes().length > MAX_RESULT_BYTES) {
      owner.warnRateLimited("result from engine " + engineAddress.id + " is too long");
      return StreamTermination.GARBLED;
    }
    inFlight.appendResult(body.bytes());
    owner.retainedBytesChanged(body.bytes().length);
    return body.last() ? StreamTermination.COMPLETED : null;
  }
}
