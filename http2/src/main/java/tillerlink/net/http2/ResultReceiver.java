package tillerlink.net.http2;

import tillerlink.net.state.EngineAddress;
import tillerlink.net.state.EngineTransport;
import tillerlink.net.state.InFlightAttempt;

/**
 * Converts the responses on the streams of a connection into progress and results of attempts.
 * Owned by the event-loop thread.
 */
final class ResultReceiver {

  private final EngineTransport.Owner owner;
  private final EngineAddress engineAddress;

  ResultReceiver(EngineTransport.Owner owner, EngineAddress engineAddress) {
    this.owner = owner;
    this.engineAddress = engineAddress;
  }

  /**
   * Processes an interim response, which may report the attempt's progress.
   *
   * @param stream null if it has already ended
   */
  void onInterim(AttemptStream stream, Event.InterimResponse interim) {
    if (stream == null) {
      return;
    }
    EngineResponses.Progress progress = EngineResponses.parseProgress(interim.headers());
    if (progress.isValid()) {
      owner.attemptProgressed(stream.inFlight, progress.kind(), progress.level());
    }
  }

  /**
   * Processes the headers of the final response.
   *
   * @param stream null if it has already ended
   * @return how the headers end the stream; null if it continues
   */
  StreamTermination onResponse(AttemptStream stream, Event.Response response) {
    if (stream == null) {
      return null;
    }
    boolean resumed = stream.inFlight.resultStarted();
    if (!EngineResponses.hasResult(response, resumed)) {
      return EngineResponses.termination(response, resumed);
    }
    stream.responseAccepted = true;
    if (!resumed) {
      stream.inFlight.startResult();
    }
    return response.endStream() ? StreamTermination.COMPLETED : null;
  }

  /**
   * Processes a part of the response's body.
   *
   * @param stream null if it has already ended
   * @return how the part ends the stream; null if it continues
   */
  StreamTermination onBody(AttemptStream stream, Event.Body body) {
    if (stream == null || !stream.responseAccepted) {
      return null;
    }
    InFlightAttempt inFlight = stream.inFlight;
    if (!inFlight.hasRoomFor(body.bytes().length)) {
      owner.warnRateLimited("result from engine " + engineAddress.id + " is too long");
      return StreamTermination.GARBLED;
    }
    inFlight.appendResult(body.bytes());
    return body.endStream() ? StreamTermination.COMPLETED : null;
  }
}
