/**
 * The histograms of hdr-histogram-js. Its index also loads a WebAssembly build and the log writer, which creates number
 * formats of Intl: together a fourth of a daemon's start.
 */
import factory from "hdr-histogram-js/dist/JsHistogramFactory.js";

/** Same as `build` of the package, for histograms that start at 1 and don't resize. */
export const build = ({ bitBucketSize, highestTrackableValue, numberOfSignificantValueDigits }) => {
    const Histogram = factory.constructorFromBucketSize(bitBucketSize);
    return new Histogram(1, highestTrackableValue, numberOfSignificantValueDigits);
};
