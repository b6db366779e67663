/**
 * Renders the results of the bench as one HTML page with bar plots.
 */
import { formatMixName, formatSystemName, sumWasted } from './formatRuns.js';
import type { RunMeasure } from './measures.js';

const barHeightPx = 14;
const barGapPx = 4;
const labelWidthPx = 320;
const plotWidthPx = 480;
const valueWidthPx = 80;

/** One horizontal bar. */
interface Bar {
  readonly label: string;
  readonly value: number;
  readonly isToucandyke: boolean;
}

/**
 * @param runs - the runs in the order of the bars
 * @returns the HTML page
 */
export const renderPage = (runs: readonly RunMeasure[]): string => {
  const plots = [
    { title: 'Paying: response over ideal, median', readValue: readMedian },
    { title: 'Paying: response over ideal, 99th percentile', readValue: readP99 },
    { title: 'Wasted messages per 1,000 tasks', readValue: sumWasted },
  ].map(({ title, readValue }) => renderPlot(title, runs, readValue));
  return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>toucandyke bench</title>
<style>body { font: 14px sans-serif; margin: 2em } text { font: 11px sans-serif }</style>
<h1>toucandyke bench, seed ${runs[0]?.request.seed ?? 0}</h1>
${plots.join('\n')}
</html>
`;
};

/** The first class of a run is the paying one. */
const readMedian = (run: RunMeasure): number => run.classes[0]?.medianOverIdeal ?? 0;
const readP99 = (run: RunMeasure): number => run.classes[0]?.p99OverIdeal ?? 0;

const renderPlot = (
  title: string,
  runs: readonly RunMeasure[],
  readValue: (run: RunMeasure) => number,
): string => {
  const bars = runs.map((run) => ({
    label: `${run.request.scenario.kind}, ${formatMixName(run)}, ${formatSystemName(run.request.system)}`,
    value: readValue(run),
    isToucandyke: run.request.system.kind === 'toucandyke',
  }));
  const maxValue = Math.max(...bars.map(({ value }) => value), Number.MIN_VALUE);
  const width = labelWidthPx + plotWidthPx + valueWidthPx;
  const height = bars.length * (barHeightPx + barGapPx);
  const renderedBars = bars.map((bar, index) => renderBar(bar, index, maxValue));
  return `<h2>${title}</h2>
<svg width="${width}" height="${height}" role="img" aria-label="${title}">
${renderedBars.join('\n')}
</svg>`;
};

const renderBar = (
  { label, value, isToucandyke }: Bar,
  index: number,
  maxValue: number,
): string => {
  const y = index * (barHeightPx + barGapPx);
  const textY = y + barHeightPx - barGapPx / 2;
  const width = (value / maxValue) * plotWidthPx;
  const colour = isToucandyke ? '#1f6f8b' : '#b0b0b0';
  return [
    `<text x="0" y="${textY}">${label}</text>`,
    `<rect x="${labelWidthPx}" y="${y}" width="${width.toFixed(1)}" height="${barHeightPx}" fill="${colour}"/>`,
    `<text x="${labelWidthPx + width + barGapPx}" y="${textY}">${value.toFixed(2)}</text>`,
  ].join('');
};
