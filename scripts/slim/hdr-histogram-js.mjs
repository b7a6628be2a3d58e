/**
 * The histograms of hdr-histogram-js. The package's index also loads a WebAssembly build and the log writer, which creates
 * `Intl.NumberFormat` objects. Together they take a quarter of a daemon's startup time.
 */
import factory from "hdr-histogram-js/dist/JsHistogramFactory.js";

/** Equivalent of the package's `build` for histograms that start at 1 and don't resize. */
export const build = ({ bitBucketSize, highestTrackableValue, numberOfSignificantValueDigits }) => {
    const Histogram = factory.constructorFromBucketSize(bitBucketSize);
    return new Histogram(1, highestTrackableValue, numberOfSignificantValueDigits);
};
