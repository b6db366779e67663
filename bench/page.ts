/**
 * The bench's results as one HTML page with plots.
 */
import { nameMix, nameSystem, sumWasted } from './formatRuns.js';
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
  readonly isOurs: boolean;
}

/**
 * Renders the page.
 *
 * @param runs - the runs in order
 * @returns HTML
 */
export const renderPage = (runs: readonly RunMeasure[]): string => {
  const plots = [
    { title: 'Paying: response over ideal, median', read: readMedian },
    { title: 'Paying: response over ideal, 99th percentile', read: readP99 },
    { title: 'Wasted messages per 1,000 tasks', read: sumWasted },
  ].map(({ title, read }) => renderPlot(title, runs, read));
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

const readMedian = (run: RunMeasure): number => run.classes[0]?.medianOverIdeal ?? 0;
const readP99 = (run: RunMeasure): number => run.classes[0]?.p99OverIdeal ?? 0;

const renderPlot = (
  title: string,
  runs: readonly RunMeasure[],
  read: (run: RunMeasure) => number,
): string => {
  const bars = runs.map((run) => ({
    label: `${run.request.scenario.kind}, ${nameMix(run)}, ${nameSystem(run.request.system)}`,
    value: read(run),
    isOurs: run.request.system.kind === 'toucandyke',
  }));
  const top = Math.max(...bars.map(({ value }) => value), Number.MIN_VALUE);
  const width = labelWidthPx + plotWidthPx + valueWidthPx;
  const height = bars.length * (barHeightPx + barGapPx);
  const drawn = bars.map((bar, index) => renderBar(bar, index, top));
  return `<h2>${title}</h2>
<svg width="${width}" height="${height}" role="img" aria-label="${title}">
${drawn.join('\n')}
</svg>`;
};

const renderBar = ({ label, value, isOurs }: Bar, index: number, top: number): string => {
  const y = index * (barHeightPx + barGapPx);
  const textY = y + barHeightPx - barGapPx / 2;
  const width = (value / top) * plotWidthPx;
  const colour = isOurs ? '#1f6f8b' : '#b0b0b0';
  return [
    `<text x="0" y="${textY}">${label}</text>`,
    `<rect x="${labelWidthPx}" y="${y}" width="${width.toFixed(1)}" height="${barHeightPx}" fill="${colour}"/>`,
    `<text x="${labelWidthPx + width + barGapPx}" y="${textY}">${value.toFixed(2)}</text>`,
  ].join('');
};
