package tillerlink.policy;

/**
 * Measurements of the engines and of the load, as seen by one gateway.
 *
 * @param registry the known engines
 * @param survey sums over the ready engines
 * @param estimator estimates of the work and time of requests
 * @param reports load reports of engines
 * @param outliers successes and failures of engines
 * @param slowStart limits for engines that are warming up
 */
record FleetMeasurements(
    EngineRegistry registry,
    FleetSurvey survey,
    LoadEstimator estimator,
    LoadReports reports,
    OutlierDetector outliers,
    SlowStart slowStart) {

  /**
   * Creates the measurements of a gateway that does not know any engine yet.
   *
   * @param config the policy's settings
   * @param now the time of the gateway's start, in tenths of a millisecond
   */
  static FleetMeasurements create(PolicyConfig config, long now) {
    FleetSurvey survey = new FleetSurvey();
    return new FleetMeasurements(
        new EngineRegistry(config),
        survey,
        new LoadEstimator(config, survey),
        new LoadReports(config),
        new OutlierDetector(config),
        new SlowStart(config, now));
  }
}
